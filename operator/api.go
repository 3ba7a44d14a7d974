package operator

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/document"
	"github.com/apricotmount/apricotmount/fault"
)

// maxDocumentBytes is the maximum size of a request body, and of a response body
// that Client reads.
const maxDocumentBytes = 4 << 20

// Node is the node that the API exposes.
type Node interface {
	// Publish validates a document, appends it to the log and waits for the
	// result.
	Publish(ctx context.Context, doc config.Document) Response
	// Check returns the faults of a document without publishing it.
	Check(doc config.Document) fault.List
	// Publication returns the result of an earlier publication.
	Publication(id config.PublicationID) Response
	// Configuration returns the active configuration.
	Configuration() Configuration
	// Status returns the status of the node.
	Status() Status
	// Targets returns the node's view of the targets.
	Targets() []Target
	// Withdraw starts or ends a temporary withdrawal of an availability zone. It
	// returns faults if the request is invalid.
	Withdraw(w WithdrawalRequest) (TemporaryWithdrawal, fault.List)
	// Quarantine returns the requests that are suspected to end targets.
	Quarantine() []SuspectedRequest
	// Release makes a suspected request be sent like any other again, at all nodes. It
	// returns faults if the request is invalid or not suspected.
	Release(r ReleaseRequest) fault.List
}

// api implements the HTTP handlers for one node.
type api struct {
	node  Node
	token string
}

// NewHandler returns the HTTP handler of the API. If token is not empty, every
// request must present it as a bearer token.
func NewHandler(node Node, token string) (handler http.Handler, err error) {
	defer func() { err = eris.Wrap(err, "build the operator API") }()
	a := api{node: node, token: token}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBanner, iris.WithoutStartupLog)
	v1 := app.Party("/v1", a.authorise)
	v1.Post("/publications", a.publish)
	v1.Get("/publications/{id}", a.publication)
	v1.Get("/configuration", a.configuration)
	v1.Get("/status", a.status)
	v1.Get("/targets", a.targets)
	v1.Post("/withdrawals", a.withdraw)
	v1.Get("/quarantine", a.quarantine)
	v1.Post("/quarantine/releases", a.release)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func (a api) authorise(ctx iris.Context) {
	authorization := ctx.GetHeader("Authorization")
	if a.token != "" && subtle.ConstantTimeCompare([]byte(authorization), []byte("Bearer "+a.token)) != 1 {
		writeJSON(ctx, http.StatusUnauthorized, Response{Result: Refused, Reason: "the operators' token is missing or wrong"})
		ctx.StopExecution()
		return
	}
	ctx.Next()
}

// httpStatuses maps results of publications to HTTP status codes.
var httpStatuses = map[Result]int{
	Accepted:     http.StatusOK,
	Refused:      http.StatusUnprocessableEntity,
	Overtaken:    http.StatusConflict,
	Undetermined: http.StatusAccepted,
}

func (a api) publish(ctx iris.Context) {
	var doc config.Document
	if err := decodeBody(ctx, &doc); err != nil {
		faults := fault.FromError(err)
		if document.OnlyUnknownKeys(err) {
			faults = append(faults, a.node.Check(doc)...)
		}
		writeJSON(ctx, http.StatusUnprocessableEntity, Response{Result: Refused, Reason: "the document is faulty", Faults: faults})
		return
	}
	response := a.node.Publish(ctx.Request().Context(), doc)
	writeJSON(ctx, httpStatuses[response.Result], response)
}

func (a api) publication(ctx iris.Context) {
	response := a.node.Publication(config.PublicationID(ctx.Params().Get("id")))
	writeJSON(ctx, httpStatuses[response.Result], response)
}

func (a api) configuration(ctx iris.Context) { writeJSON(ctx, http.StatusOK, a.node.Configuration()) }

func (a api) status(ctx iris.Context) { writeJSON(ctx, http.StatusOK, a.node.Status()) }

func (a api) targets(ctx iris.Context) { writeJSON(ctx, http.StatusOK, a.node.Targets()) }

func (a api) withdraw(ctx iris.Context) {
	var w WithdrawalRequest
	err := decodeBody(ctx, &w)
	faults := fault.FromError(err)
	var withdrawal TemporaryWithdrawal
	if err == nil {
		withdrawal, faults = a.node.Withdraw(w)
	}
	if len(faults) > 0 {
		writeJSON(ctx, http.StatusUnprocessableEntity, Response{Result: Refused, Reason: "the request is faulty", Faults: faults})
		return
	}
	writeJSON(ctx, http.StatusOK, withdrawal)
}

func (a api) quarantine(ctx iris.Context) { writeJSON(ctx, http.StatusOK, a.node.Quarantine()) }

func (a api) release(ctx iris.Context) {
	var r ReleaseRequest
	err := decodeBody(ctx, &r)
	faults := fault.FromError(err)
	if err == nil {
		faults = a.node.Release(r)
	}
	if len(faults) > 0 {
		writeJSON(ctx, http.StatusUnprocessableEntity, Response{Result: Refused, Reason: "the request is faulty", Faults: faults})
		return
	}
	writeJSON(ctx, http.StatusOK, r)
}

// decodeBody decodes the request body. The error is a fault.List that includes
// unknown keys.
func decodeBody(ctx iris.Context, v any) error {
	b, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxDocumentBytes))
	if err != nil {
		return fault.List{{Field: "document", Problem: "cannot be read: " + err.Error()}}
	}
	return document.Decode(b, v)
}

func writeJSON(ctx iris.Context, status int, v any) {
	ctx.StatusCode(status)
	// A write error means that the client has disconnected, so it is not reported.
	_ = ctx.JSON(v)
}
