package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/replyconn"
)

// Client calls the operator API of one node.
type Client struct {
	// URL is the base URL of the API, such as "http://10.0.0.1:8081".
	URL string
	// Token is sent as a bearer token with every request unless it is empty.
	Token string
	// HTTPClient sends the requests. Nil selects replyconn.Client.
	HTTPClient *http.Client
}

// Publish publishes a document in YAML or JSON and returns the result.
func (c *Client) Publish(ctx context.Context, doc []byte) (response Response, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/publications", doc, &response)
	return response, err
}

// PublishDocument publishes a document and returns the result.
func (c *Client) PublishDocument(ctx context.Context, doc config.Document) (response Response, err error) {
	b, err := json.Marshal(doc)
	if err != nil {
		return Response{}, eris.Wrap(err, "encode a publication")
	}
	return c.Publish(ctx, b)
}

// Publication returns the result of an earlier publication.
func (c *Client) Publication(ctx context.Context, id config.PublicationID) (response Response, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/publications/"+string(id), nil, &response)
	return response, err
}

// Configuration returns the active configuration of the node.
func (c *Client) Configuration(ctx context.Context) (v Configuration, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/configuration", nil, &v)
	return v, err
}

// Status returns the status of the node.
func (c *Client) Status(ctx context.Context) (v Status, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/status", nil, &v)
	return v, err
}

// Targets returns the node's view of the targets.
func (c *Client) Targets(ctx context.Context) (v []Target, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/targets", nil, &v)
	return v, err
}

// Withdraw starts or ends a temporary withdrawal of an availability zone.
func (c *Client) Withdraw(ctx context.Context, w WithdrawalRequest) (v TemporaryWithdrawal, err error) {
	b, err := json.Marshal(w)
	if err != nil {
		return TemporaryWithdrawal{}, eris.Wrap(err, "encode a withdrawal")
	}
	err = c.do(ctx, http.MethodPost, "/v1/withdrawals", b, &v)
	return v, err
}

// Quarantine returns the requests that the node suspects to end targets.
func (c *Client) Quarantine(ctx context.Context) (v []SuspectedRequest, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/quarantine", nil, &v)
	return v, err
}

// Release makes a suspected request be sent like any other again.
func (c *Client) Release(ctx context.Context, r ReleaseRequest) (err error) {
	b, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode a release")
	}
	return c.do(ctx, http.MethodPost, "/v1/quarantine/releases", b, &ReleaseRequest{})
}

// RefusedError is the error for a request that the node refused.
type RefusedError struct {
	Response Response
}

// Error returns the reason and the faults, one per line.
func (e *RefusedError) Error() string {
	lines := []string{e.Response.Reason}
	for _, f := range e.Response.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, v any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s %s", method, path) }()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// If net/http resent the request, it could publish the document twice.
	// Without GetBody it cannot resend the body.
	req.GetBody = nil
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTPClient
	if client == nil {
		client = replyconn.Client
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := replyconn.ReadBody(ctx, resp.Body, maxDocumentBytes)
	if err != nil {
		return err
	}
	return decodeResponse(resp.StatusCode, b, v)
}

// decodeResponse decodes a response body into v. A refusal becomes a RefusedError,
// unless v is a Response and thus holds the refusal of the publication itself.
func decodeResponse(status int, b []byte, v any) error {
	_, isResponse := v.(*Response)
	if status == http.StatusUnauthorized || status == http.StatusUnprocessableEntity && !isResponse {
		var response Response
		if err := json.Unmarshal(b, &response); err != nil {
			return eris.Errorf("status %d", status)
		}
		return &RefusedError{Response: response}
	}
	if err := json.Unmarshal(b, v); err != nil {
		return eris.Errorf("status %d: %s", status, bytes.TrimSpace(b))
	}
	return nil
}
