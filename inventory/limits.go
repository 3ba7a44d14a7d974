package inventory

import (
	"net/http"

	"github.com/apricotmount/apricotmount/intake"
	"github.com/apricotmount/apricotmount/outcome"
)

// Check returns the status and reason with which to refuse a request that exceeds the
// limits; the reason is empty if it does not.
func (l Limits) Check(r *http.Request) (status int, reason outcome.Reason) {
	if l.MaxBodyBytes > 0 && r.ContentLength > l.MaxBodyBytes {
		return http.StatusRequestEntityTooLarge, outcome.BodyTooLong
	}
	if l.MaxHeaderBytes > 0 && headerBytes(r) > l.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, outcome.HeadersTooLong
	}
	return 0, ""
}

// IntakeLimits returns the limits that apply while a request is received; a nil plan has none.
func (p *Plan) IntakeLimits() intake.Limits {
	if p == nil {
		return intake.Limits{}
	}
	return intake.Limits{HeadBytes: p.Limits.MaxHeaderBytes, HeadTime: p.Limits.HeaderTimeout, IdleTime: p.Limits.IdleTimeout}
}

// headerBytes returns the approximate length of a request's line and headers.
func headerBytes(r *http.Request) (n int64) {
	n = int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v))
		}
	}
	return n
}
