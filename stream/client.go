package stream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/replyconn"
)

const (
	// maxBatchBytes is the maximum length of the body of one response. The longest record, a
	// publication of 4 MiB, takes 5.6 MiB in base64.
	maxBatchBytes = 8 << 20
	// batchDivisor divides the number of records to read after a batch that was too long.
	batchDivisor = 16
	// readTimeoutMargin is the time allowed for a read in addition to its wait time.
	readTimeoutMargin = 3 * time.Second
)

// Client is a Log over HTTP: POST URL/streams/NAME appends the body, and
// GET URL/streams/NAME?from=N&max=N&wait=D reads.
type Client struct {
	// URL is the base URL of the log, such as "http://10.0.0.9:9001".
	URL string
	// HTTP is the client to use; nil means replyconn.Client.
	HTTP *http.Client
}

// appendResponse is the body of the response to an append.
type appendResponse struct {
	Offset Offset `json:"offset"`
}

// Append adds a record and returns its offset. After an error the record may still
// be in the stream.
func (c *Client) Append(ctx context.Context, name Name, payload []byte) (o Offset, err error) {
	defer func() { err = eris.Wrapf(err, "append to stream %s", name) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(name), bytes.NewReader(payload))
	if err != nil {
		return 0, err
	}
	// Without GetBody, net/http cannot resend the append by itself.
	req.GetBody = nil
	var response appendResponse
	err = c.do(req, &response)
	return response.Offset, err
}

// Read returns at most max records from the given offset on. If there are none, it
// waits for one up to the given time.
func (c *Client) Read(ctx context.Context, name Name, from Offset, max int, wait time.Duration) (b Batch, err error) {
	defer func() { err = eris.Wrapf(err, "read stream %s from %d", name, from) }()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	b, err = c.readBatch(ctx, name, from, max, wait)
	for errors.Is(err, replyconn.ErrBodyTooLong) && max > 1 {
		max = (max + batchDivisor - 1) / batchDivisor
		b, err = c.readBatch(ctx, name, from, max, wait)
	}
	return b, err
}

// readBatch sends one request to read records.
func (c *Client) readBatch(ctx context.Context, name Name, from Offset, max int, wait time.Duration) (b Batch, err error) {
	query := fmt.Sprintf("?from=%d&max=%d&wait=%s", from, max, wait)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(name)+query, nil)
	if err != nil {
		return Batch{}, err
	}
	err = c.do(req, &b)
	return b, err
}

func (c *Client) streamURL(name Name) string {
	return c.URL + "/streams/" + url.PathEscape(string(name))
}

// do sends a request and decodes the JSON body of the response into result.
func (c *Client) do(req *http.Request, result any) (err error) {
	client := c.HTTP
	if client == nil {
		client = replyconn.Client
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", resp.StatusCode)
	}
	// The whole body is read: a value may be complete in a response that breaks off.
	body, err := replyconn.ReadBody(req.Context(), resp.Body, maxBatchBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, result)
}
