package stream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxBatchBytes bounds the size of a read before it is decoded.
	maxBatchBytes = 64 << 20
	// readSlack is added to the wait of a read to give its timeout.
	readTimeoutMargin = 3 * time.Second
)

// Client speaks to the log over HTTP: POST URL/streams/NAME appends the body,
// GET URL/streams/NAME?from=N&max=N&wait=D reads.
type Client struct {
	// URL is the base address of the log, such as "http://10.0.0.9:9001".
	URL string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

type appendResponse struct {
	Offset Offset `json:"offset"`
}

// Append adds a record and returns its offset.
func (c *Client) Append(ctx context.Context, name Name, payload []byte) (o Offset, err error) {
	defer func() { err = eris.Wrapf(err, "append to stream %s", name) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(name), bytes.NewReader(payload))
	if err != nil {
		return 0, err
	}
	// The library must not send an append again by itself.
	req.GetBody = nil
	var response appendResponse
	err = c.do(req, &response)
	return response.Offset, err
}

// Read returns records from the given offset on.
func (c *Client) Read(ctx context.Context, name Name, from Offset, max int, wait time.Duration) (b Batch, err error) {
	defer func() { err = eris.Wrapf(err, "read stream %s from %d", name, from) }()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
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

func (c *Client) do(req *http.Request, response any) (err error) {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxBatchBytes)).Decode(response)
}
