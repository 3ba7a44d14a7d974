package wire

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/target"
)

// Retry-After counts only on a refusal with status 503, in seconds with a fraction.
// Anything else must not hold a target back, nor may a huge number for good.
func TestParseReportReadsRetryAfter(t *testing.T) {
	tests := []struct {
		name, value string
		status      int
		want        time.Duration
	}{
		{"fraction", "0.25", 503, 250 * time.Millisecond},
		{"whole seconds", "3", 503, 3 * time.Second},
		{"another status", "3", 429, 0},
		{"none", "", 503, 0},
		{"negative", "-1", 503, 0},
		{"date", "Fri, 04 Dec 2026 06:00:00 GMT", 503, 0},
		{"not a number", "NaN", 503, 0},
		{"huge", "1e300", 503, maxRetryAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := &http.Response{StatusCode: tt.status, Header: http.Header{"Retry-After": {tt.value}}}
			if got := DefaultProtocol.ParseReport(resp).RetryAfter; got != tt.want {
				t.Errorf("retry after: got %v, want %v", got, tt.want)
			}
		})
	}
}

// The mark of a leaving target counts on any response, and must not reach callers.
func TestParseReportReadsLeavingHeader(t *testing.T) {
	p := DefaultProtocol
	resp := &http.Response{StatusCode: 200, Header: http.Header{"Leaving": {"1"}}}
	if p.ParseReport(resp).IsLeaving {
		t.Error("without a header name: got leaving, want not")
	}
	p.LeavingHeader = "Leaving"
	if !p.ParseReport(resp).IsLeaving {
		t.Error("with the header: got not leaving, want leaving")
	}
	p.StripHeaders(resp.Header)
	if len(resp.Header) != 0 {
		t.Errorf("headers for the caller: got %v, want none", resp.Header)
	}
}

// A rate limit is a finite number of requests a second, with a fraction, at least 0.
// Anything else must be recognised as unreadable, and a missing header as no limit.
func TestParseReportReadsRateLimit(t *testing.T) {
	p := DefaultProtocol
	p.LimitHeader = "Limit"
	tests := []struct {
		name   string
		values []string
		want   target.RateLimit
	}{
		{"fraction", []string{"2.5"}, target.RateLimit{Status: target.LimitNamed, PerSecond: 2.5}},
		{"zero", []string{"0"}, target.RateLimit{Status: target.LimitNamed}},
		{"near zero", []string{"1e-9"}, target.RateLimit{Status: target.LimitNamed, PerSecond: 1e-9}},
		{"huge", []string{"1e300"}, target.RateLimit{Status: target.LimitNamed, PerSecond: 1e300}},
		{"spaces", []string{" 4 "}, target.RateLimit{Status: target.LimitNamed, PerSecond: 4}},
		{"none", nil, target.RateLimit{}},
		{"empty", []string{""}, target.RateLimit{Status: target.LimitUnreadable}},
		{"word", []string{"few"}, target.RateLimit{Status: target.LimitUnreadable, Text: "few"}},
		{"negative", []string{"-2"}, target.RateLimit{Status: target.LimitUnreadable, Text: "-2"}},
		{"not a number", []string{"NaN"}, target.RateLimit{Status: target.LimitUnreadable, Text: "NaN"}},
		{"infinite", []string{"Inf"}, target.RateLimit{Status: target.LimitUnreadable, Text: "Inf"}},
		{"two values", []string{"2", "3"}, target.RateLimit{Status: target.LimitUnreadable, Text: "2, 3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := &http.Response{StatusCode: 200, Header: http.Header{}}
			for _, v := range tt.values {
				resp.Header.Add("Limit", v)
			}
			if got := p.ParseReport(resp).Limit; got != tt.want {
				t.Errorf("limit: got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// A word of a target that this version does not know must be seen, and headers of others
// must not be taken for one.
func TestParseReportNamesUnknownHeaders(t *testing.T) {
	p := DefaultProtocol
	p.HeaderPrefixes, p.LimitHeader = [2]string{"Server-"}, "server-limit"
	h := http.Header{"Server-Limit": {"1"}, "Server-Pressure": {"9"}, "Server": {"x"}, "Content-Type": {"text/plain"}}
	if got, want := p.ParseReport(&http.Response{Header: h}).UnknownHeaders, []string{"Server-Pressure"}; !slices.Equal(got, want) {
		t.Errorf("unknown headers: got %v, want %v", got, want)
	}
	if got := DefaultProtocol.ParseReport(&http.Response{Header: h}).UnknownHeaders; got != nil {
		t.Errorf("without prefixes: got %v, want none", got)
	}
}
