package load

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/service"
)

// Summary is what callers saw in all.
type Summary struct {
	Calls      int            `json:"calls"`
	Duplicates int            `json:"duplicates-sent"`
	Done       int            `json:"done"`
	NotRun     int            `json:"not-run"`
	Unknown    int            `json:"unknown"`
	Broken     int            `json:"broken"`
	Truncated  int            `json:"truncated"`
	Reasons    map[string]int `json:"reasons"`
	P50Millis  float64        `json:"p50-ms"`
	P99Millis  float64        `json:"p99-ms"`
	P999Millis float64        `json:"p99-9-ms"`

	// Latencies of calls that were done, by service.
	Latencies map[service.Name]*hdrhistogram.Histogram `json:"-"`
}

// Summarise sums up records; second sendings of keyed calls are counted apart.
func Summarise(records []Record) (s Summary) {
	s.Reasons = map[string]int{}
	s.Latencies = map[service.Name]*hdrhistogram.Histogram{}
	all := NewHistogram()
	for _, rec := range records {
		if rec.IsTruncated {
			s.Truncated++
		}
		if rec.IsDuplicate {
			s.Duplicates++
			continue
		}
		s.add(rec)
		if rec.Outcome == outcome.Done {
			s.observe(rec, all)
		}
	}
	s.P50Millis, s.P99Millis, s.P999Millis = PercentileMillis(all, 50), PercentileMillis(all, 99), PercentileMillis(all, 99.9)
	return s
}

func (s *Summary) add(rec Record) {
	s.Calls++
	if rec.ConnectionBroken {
		s.Broken++
	}
	switch rec.Outcome {
	case outcome.Done:
		s.Done++
		return
	case outcome.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	s.Reasons[string(rec.Outcome)+" "+rec.Reason]++
}

func (s *Summary) observe(rec Record, all *hdrhistogram.Histogram) {
	h := s.Latencies[rec.Service]
	if h == nil {
		h = NewHistogram()
		s.Latencies[rec.Service] = h
	}
	for _, each := range []*hdrhistogram.Histogram{h, all} {
		// The latency lies within the histograms' bounds.
		_ = each.RecordValue(rec.Latency.Microseconds())
	}
}

// Write writes the summary for a person, as lines of tab-separated cells.
func (s *Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "calls\t%d\tdone %d, not run %d, unknown %d, of these broken %d\n", s.Calls, s.Done, s.NotRun, s.Unknown, s.Broken)
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		fmt.Fprintf(w, "\t%d\t%s\n", s.Reasons[reason], reason)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Latencies)) {
		h := s.Latencies[name]
		fmt.Fprintf(w, "%s\t%d\tp50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", name, h.TotalCount(), PercentileMillis(h, 50), PercentileMillis(h, 99), PercentileMillis(h, 99.9))
	}
}
