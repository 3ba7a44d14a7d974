package vm

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the size of a list before it is decoded.
	maxListBytes = 4 << 20
)

// Client reads the platform's list over HTTP from URL + "/vms".
type Client struct {
	// URL is the base address of the platform's list, such as "http://10.0.0.9:9000".
	URL string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTPClient *http.Client

	mu   sync.Mutex
	etag string
	last List
}

// List reads the list once. A list that has not changed is not sent again, if
// the platform can tell by an entity tag.
func (c *Client) List(ctx context.Context) (list List, err error) {
	defer func() { err = eris.Wrap(err, "read the list of VMs") }()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+"/vms", nil)
	if err != nil {
		return List{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return c.last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, eris.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return List{}, err
	}
	c.etag, c.last = resp.Header.Get("ETag"), list
	return list, nil
}

func (c *Client) client() *http.Client {
	if c.HTTPClient == nil {
		return http.DefaultClient
	}
	return c.HTTPClient
}
