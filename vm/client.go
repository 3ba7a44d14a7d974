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
	// listTimeout is the timeout of one request for the list.
	listTimeout = 2 * time.Second
	// maxListBytes is the maximum size of an encoded list.
	maxListBytes = 4 << 20
)

// Client reads the platform's list of VMs over HTTP from URL + "/vms". It is safe
// for concurrent use.
type Client struct {
	// URL is the base URL of the platform, such as "http://10.0.0.9:9000".
	URL string
	// HTTPClient sends the requests. Nil selects http.DefaultClient.
	HTTPClient *http.Client

	mu       sync.Mutex
	etag     string
	lastList List
}

// List requests the list once. If the platform reports by entity tag that the list
// is unchanged, List returns the list of the previous response.
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
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return c.lastList, nil
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, eris.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return List{}, err
	}
	c.etag, c.lastList = resp.Header.Get("ETag"), list
	return list, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTPClient == nil {
		return http.DefaultClient
	}
	return c.HTTPClient
}
