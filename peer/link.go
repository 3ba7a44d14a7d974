package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/vm"
)

const (
	// outboxLength is how many messages wait for a slow peer; more are dropped.
	outboxLength = 32
	// writeTimeout bounds the writing of one message.
	writeTimeout = 4 * time.Second
)

// Link is one connection to a peer.
type Link struct {
	hub     *Hub
	conn    *websocket.Conn
	outbox  chan []byte
	dialled vm.Address
	ended   context.CancelFunc

	peer     atomic.Uint64
	lastSent atomic.Int64

	mu     sync.Mutex
	reason string
}

// Peer is the incarnation at the other end, or zero before it has spoken.
func (l *Link) PeerIncarnation() member.Incarnation {
	return member.Incarnation(l.peer.Load())
}

// Send puts a message on its way, or drops it if the peer is too slow.
func (l *Link) Send(m Message) {
	for _, part := range m.Split() {
		l.sendBytes(part.Encode())
	}
}

func (l *Link) sendBytes(b []byte) {
	select {
	case l.outbox <- b:
	default:
		l.hub.dropped.Add(1)
	}
}

// run serves the link until it ends.
func (l *Link) run(ctx context.Context) {
	ctx, l.ended = context.WithCancel(ctx)
	defer l.ended()
	l.conn.SetReadLimit(maxMessageBytes)
	go l.write(ctx)
	l.read(ctx)
	l.ended()
	l.conn.CloseNow()
}

func (l *Link) read(ctx context.Context) {
	for {
		b, err := l.readOne(ctx)
		if err != nil {
			l.end(err.Error())
			return
		}
		l.hub.received.Add(int64(len(b)))
		m, err := Decode(b)
		if err != nil {
			l.end(err.Error())
			return
		}
		if !l.meet(m) {
			return
		}
		l.hub.Delegate.Receive(l, m)
	}
}

func (l *Link) readOne(ctx context.Context) (b []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.hub.Settings.withDefaults().IdleTimeout)
	defer cancel()
	_, b, err = l.conn.Read(ctx)
	return b, err
}

// meet learns who is at the other end from its first state; it reports false
// if that is this node itself.
func (l *Link) meet(m Message) bool {
	if l.PeerIncarnation() != 0 || len(m.Entries) == 0 {
		return true
	}
	if m.Entries[0].Incarnation == l.hub.Self {
		l.end("it leads to this node itself")
		l.hub.noteOwn(l.dialled)
		return false
	}
	l.peer.Store(uint64(m.Entries[0].Incarnation))
	return true
}

func (l *Link) write(ctx context.Context) {
	keepAlive := l.hub.Settings.withDefaults().IdleTimeout / keepAliveShare
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	defer l.ended()
	l.sendBytes(l.hub.Delegate.State().Encode())
	for {
		var b []byte
		select {
		case <-ctx.Done():
			return
		case b = <-l.outbox:
		case <-ticker.C:
			if time.Since(time.Unix(0, l.lastSent.Load())) < keepAlive {
				continue
			}
			b = Message{}.Encode()
		}
		if err := l.writeOne(ctx, b); err != nil {
			l.end(err.Error())
			return
		}
	}
}

func (l *Link) writeOne(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.lastSent.Store(time.Now().UnixNano())
	l.hub.sent.Add(int64(len(b)))
	l.hub.messages.Add(1)
	return l.conn.Write(ctx, websocket.MessageBinary, b)
}

// end keeps the first reason for which the link ended.
func (l *Link) end(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason == "" {
		l.reason = reason
	}
}

// Reason is why the link ended, or "".
func (l *Link) CloseReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}
