package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"
)

// delayedMessage is a message that waits in the send queue of a slow node: the ages in it are
// those of when it was written.
type delayedMessage struct {
	to, from int
	cases    []Case
}

// later returns cases as they are read after a delay.
func later(cases []Case, delay time.Duration) (moved []Case) {
	for _, c := range cases {
		c = c.clone()
		for i := range c.Ends {
			c.Ends[i].At = c.Ends[i].At.Add(delay)
		}
		moved = append(moved, c)
	}
	return moved
}

// An end and the completion that clears it spread through slow nodes, each of which passes on
// what is new to it. The messages must come to an end, with the request free at all nodes.
func TestMessagesOfSlowNodesComeToAnEnd(t *testing.T) {
	const nodeCount, maxMessages = 6, 2000
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var ledgers [nodeCount]Ledger
		var queue []delayedMessage
		broadcast := func(from, except int, cases []Case) {
			if len(cases) == 0 {
				return
			}
			for to := range nodeCount {
				if to != from && to != except {
					queue = append(queue, delayedMessage{to, from, cases})
				}
			}
		}
		d := testDigest(1)
		ledgers[0].RecordEnd(d, testEnd("i-1", testEpoch))
		broadcast(0, 0, ledgers[0].Share(d))
		broadcast(0, 0, ledgers[0].RecordCompletion(d, testEpoch.Add(200*time.Millisecond)))
		messages := 0
		for len(queue) > 0 && messages < maxMessages {
			messages++
			i := rng.IntN(len(queue))
			m := queue[i]
			queue = append(queue[:i], queue[i+1:]...)
			received := later(m.cases, time.Duration(rng.IntN(800))*time.Millisecond)
			news, outdated := ledgers[m.to].Merge(received, testEpoch.Add(time.Second))
			broadcast(m.to, m.from, news)
			if len(outdated) > 0 {
				queue = append(queue, delayedMessage{m.from, m.to, outdated})
			}
		}
		if messages >= maxMessages {
			t.Fatalf("seed %d: got more than %d messages, want an end", seed, maxMessages)
		}
		for i := range ledgers {
			if got := ledgers[i].Verdict(d); got != Free {
				t.Errorf("seed %d: verdict at node %d: got %s, want free", seed, i, got)
			}
		}
	}
}
