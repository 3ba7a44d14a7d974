package metrics

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// writeText writes a snapshot in the Prometheus text format: one line for each
// counter, gauge, cumulative histogram bucket and histogram count.
func writeText(w io.Writer, s tally.Snapshot) error {
	b := bufio.NewWriter(w)
	counters := s.Counters()
	for _, key := range slices.Sorted(maps.Keys(counters)) {
		c := counters[key]
		fmt.Fprintf(b, "%s%s %d\n", metricName(c.Name()), formatLabels(c.Tags(), ""), c.Value())
	}
	gauges := s.Gauges()
	for _, key := range slices.Sorted(maps.Keys(gauges)) {
		g := gauges[key]
		fmt.Fprintf(b, "%s%s %g\n", metricName(g.Name()), formatLabels(g.Tags(), ""), g.Value())
	}
	histograms := s.Histograms()
	for _, key := range slices.Sorted(maps.Keys(histograms)) {
		writeHistogram(b, histograms[key])
	}
	return b.Flush()
}

func writeHistogram(w io.Writer, h tally.HistogramSnapshot) {
	total := int64(0)
	durations := h.Durations()
	for _, upper := range slices.Sorted(maps.Keys(durations)) {
		total += durations[upper]
		le := "+Inf"
		if upper < lastBucketBound {
			le = strconv.FormatFloat(upper.Seconds(), 'g', -1, 64)
		}
		fmt.Fprintf(w, "%s_bucket%s %d\n", metricName(h.Name()), formatLabels(h.Tags(), le), total)
	}
	fmt.Fprintf(w, "%s_count%s %d\n", metricName(h.Name()), formatLabels(h.Tags(), ""), total)
}

// lastBucketBound is the upper bound that tally gives the last bucket of a duration
// histogram; the text format writes it as +Inf.
const lastBucketBound = time.Duration(1<<63 - 1)

// metricName replaces dots and hyphens, which Prometheus names cannot contain, by
// underscores.
func metricName(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, ".", "_"), "-", "_")
}

// formatLabels formats tags as labels in sorted order, followed by the label le, the
// upper bound of a bucket, unless it is empty.
func formatLabels(tags map[string]string, le string) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", metricName(k), tags[k]))
	}
	if le != "" {
		parts = append(parts, fmt.Sprintf("le=%q", le))
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
