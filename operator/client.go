package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/config"
)

// Client speaks to the operator API of one node.
type Client struct {
	// URL is the API's base address, such as "http://10.0.0.1:8081".
	URL string
	// Token is shown with every request.
	Token string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// Publish hands in a document, YAML or JSON, and returns its fate.
func (c *Client) Publish(ctx context.Context, doc []byte) (a Response, err error) {
	err = c.exchange(ctx, http.MethodPost, "/v1/publications", doc, &a)
	return a, err
}

// PublishDocument hands in a document.
func (c *Client) PublishDocument(ctx context.Context, doc config.Document) (a Response, err error) {
	b, err := json.Marshal(doc)
	if err != nil {
		return Response{}, eris.Wrap(err, "encode a publication")
	}
	return c.Publish(ctx, b)
}

// Publication asks what became of a publication.
func (c *Client) Publication(ctx context.Context, id config.PublicationID) (a Response, err error) {
	err = c.exchange(ctx, http.MethodGet, "/v1/publications/"+string(id), nil, &a)
	return a, err
}

// Configuration asks what is in force.
func (c *Client) Configuration(ctx context.Context) (v Configuration, err error) {
	err = c.exchange(ctx, http.MethodGet, "/v1/configuration", nil, &v)
	return v, err
}

// Status asks what the node says of itself.
func (c *Client) Status(ctx context.Context) (v Status, err error) {
	err = c.exchange(ctx, http.MethodGet, "/v1/status", nil, &v)
	return v, err
}

// Targets asks for the targets as the node sees them.
func (c *Client) Targets(ctx context.Context) (v []Target, err error) {
	err = c.exchange(ctx, http.MethodGet, "/v1/targets", nil, &v)
	return v, err
}

// Withdraw begins or ends a temporary withdrawal.
func (c *Client) Withdraw(ctx context.Context, w WithdrawalRequest) (v TemporaryWithdrawal, err error) {
	b, err := json.Marshal(w)
	if err != nil {
		return TemporaryWithdrawal{}, eris.Wrap(err, "encode a withdrawal")
	}
	err = c.exchange(ctx, http.MethodPost, "/v1/withdrawals", b, &v)
	return v, err
}

// RefusedError is an answer that refuses a request.
type RefusedError struct {
	Response Response
}

// Error returns the reason and each fault, one a line.
func (e *RefusedError) Error() string {
	lines := []string{e.Response.Reason}
	for _, f := range e.Response.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte, v any) (err error) {
	defer func() { err = eris.Wrapf(err, "%s %s", method, path) }()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// A publication must not be sent twice by the library.
	req.GetBody = nil
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxDocumentBytes))
	if err != nil {
		return err
	}
	return decodeAnswer(resp.StatusCode, b, v)
}

// decodeAnswer reads an answer; refusals other than a publication's own fate
// become errors.
func decodeAnswer(status int, b []byte, v any) error {
	_, isFate := v.(*Response)
	if status == http.StatusUnauthorized || status == http.StatusUnprocessableEntity && !isFate {
		var a Response
		if err := json.Unmarshal(b, &a); err != nil {
			return eris.Errorf("status %d", status)
		}
		return &RefusedError{Response: a}
	}
	if err := json.Unmarshal(b, v); err != nil {
		return eris.Errorf("status %d: %s", status, bytes.TrimSpace(b))
	}
	return nil
}
