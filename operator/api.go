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

// maxDocumentBytes bounds what an operator may hand in.
const maxDocumentBytes = 4 << 20

// Host is the node that the API serves.
type Node interface {
	// Publish checks a document, appends it and waits for its fate.
	Publish(ctx context.Context, doc config.Document) Response
	// Check returns the faults of a document that is not to be published.
	Check(doc config.Document) fault.List
	// Publication says what became of a publication.
	Publication(id config.PublicationID) Response
	// Configuration returns what is in force.
	Configuration() Configuration
	// Status returns what the node says of itself.
	Status() Status
	// Targets returns the targets as the node sees them.
	Targets() []Target
	// Withdraw begins or ends a temporary withdrawal.
	Withdraw(w WithdrawalRequest) (TemporaryWithdrawal, fault.List)
}

// api serves one host.
type api struct {
	host  Node
	token string
}

// Handler returns the HTTP form of the API. With a token, every request must
// show it.
func NewHandler(h Node, token string) (handler http.Handler, err error) {
	defer func() { err = eris.Wrap(err, "build the operator API") }()
	a := api{host: h, token: token}
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
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func (a api) authorise(ctx iris.Context) {
	shown := ctx.GetHeader("Authorization")
	if a.token != "" && subtle.ConstantTimeCompare([]byte(shown), []byte("Bearer "+a.token)) != 1 {
		reply(ctx, http.StatusUnauthorized, Response{Result: Refused, Reason: "the operators' token is missing or wrong"})
		ctx.StopExecution()
		return
	}
	ctx.Next()
}

// statuses are the HTTP statuses of results.
var statuses = map[Result]int{
	Accepted:     http.StatusOK,
	Refused:      http.StatusUnprocessableEntity,
	Overtaken:    http.StatusConflict,
	Undetermined: http.StatusAccepted,
}

func (a api) publish(ctx iris.Context) {
	var doc config.Document
	if err := read(ctx, &doc); err != nil {
		faults := fault.FromError(err)
		if document.OnlyUnknownKeys(err) {
			faults = append(faults, a.host.Check(doc)...)
		}
		reply(ctx, http.StatusUnprocessableEntity, Response{Result: Refused, Reason: "the document is faulty", Faults: faults})
		return
	}
	answer := a.host.Publish(ctx.Request().Context(), doc)
	reply(ctx, statuses[answer.Result], answer)
}

func (a api) publication(ctx iris.Context) {
	answer := a.host.Publication(config.PublicationID(ctx.Params().Get("id")))
	reply(ctx, statuses[answer.Result], answer)
}

func (a api) configuration(ctx iris.Context) { reply(ctx, http.StatusOK, a.host.Configuration()) }

func (a api) status(ctx iris.Context) { reply(ctx, http.StatusOK, a.host.Status()) }

func (a api) targets(ctx iris.Context) { reply(ctx, http.StatusOK, a.host.Targets()) }

func (a api) withdraw(ctx iris.Context) {
	var w WithdrawalRequest
	err := read(ctx, &w)
	faults := fault.FromError(err)
	var out TemporaryWithdrawal
	if err == nil {
		out, faults = a.host.Withdraw(w)
	}
	if len(faults) > 0 {
		reply(ctx, http.StatusUnprocessableEntity, Response{Result: Refused, Reason: "the request is faulty", Faults: faults})
		return
	}
	reply(ctx, http.StatusOK, out)
}

// read decodes a request's body, strictly.
func read(ctx iris.Context, v any) error {
	b, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxDocumentBytes))
	if err != nil {
		return fault.List{{Field: "document", Problem: "cannot be read: " + err.Error()}}
	}
	return document.Decode(b, v)
}

func reply(ctx iris.Context, status int, v any) {
	ctx.StatusCode(status)
	// The operator may be gone; there is nobody else to tell.
	_ = ctx.JSON(v)
}
