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
	// sendQueueLength is how many messages wait for a slow peer; more are dropped.
	sendQueueLength = 32
	// writeTimeout bounds the writing of one message.
	writeTimeout = 4 * time.Second
)

// Link is one connection to a peer.
type Link struct {
	hub     *Hub
	conn    *websocket.Conn
	sendQueue  chan []byte
	dialled vm.Address
	cancel   context.CancelFunc

	peerIncarnation     atomic.Uint64
	lastSentNanos atomic.Int64

	mu     sync.Mutex
	closeReason string
}

// Peer is the incarnation at the other end, or zero before it has spoken.
func (l *Link) Peer() member.Incarnation {
	return member.Incarnation(l.peerIncarnation.Load())
}

// Send puts a message on its way, or drops it if the peer is too slow.
func (l *Link) Send(m Message) {
	for _, part := range m.Split() {
		l.sendBytes(part.Encode())
	}
}

func (l *Link) sendBytes(b []byte) {
	select {
	case l.sendQueue <- b:
	default:
		l.hub.droppedMessages.Add(1)
	}
}

// run serves the link until it ends.
func (l *Link) run(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.conn.SetReadLimit(maxMessageBytes)
	go l.writeLoop(ctx)
	l.readLoop(ctx)
	l.cancel()
	l.conn.CloseNow()
}

func (l *Link) readLoop(ctx context.Context) {
	for {
		b, err := l.readMessage(ctx)
		if err != nil {
			l.setCloseReason(err.Error())
			return
		}
		l.hub.receivedBytes.Add(int64(len(b)))
		m, err := Decode(b)
		if err != nil {
			l.setCloseReason(err.Error())
			return
		}
		if !l.identifyPeer(m) {
			return
		}
		l.hub.Host.Receive(l, m)
	}
}

func (l *Link) readMessage(ctx context.Context) (b []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.hub.Settings.withDefaults().Silence)
	defer cancel()
	_, b, err = l.conn.Read(ctx)
	return b, err
}

// identifyPeer learns who is at the other end from its first state; it reports false
// if that is this node itself.
func (l *Link) identifyPeer(m Message) bool {
	if l.Peer() != 0 || len(m.Entries) == 0 {
		return true
	}
	if m.Entries[0].Incarnation == l.hub.Self {
		l.setCloseReason("it leads to this node itself")
		l.hub.addOwnAddress(l.dialled)
		return false
	}
	l.peerIncarnation.Store(uint64(m.Entries[0].Incarnation))
	return true
}

func (l *Link) writeLoop(ctx context.Context) {
	keepAlive := l.hub.Settings.withDefaults().Silence / keepAliveDivisor
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	defer l.cancel()
	l.sendBytes(l.hub.Host.State().Encode())
	for {
		var b []byte
		select {
		case <-ctx.Done():
			return
		case b = <-l.sendQueue:
		case <-ticker.C:
			if time.Since(time.Unix(0, l.lastSentNanos.Load())) < keepAlive {
				continue
			}
			b = Message{}.Encode()
		}
		if err := l.writeMessage(ctx, b); err != nil {
			l.setCloseReason(err.Error())
			return
		}
	}
}

func (l *Link) writeMessage(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.lastSentNanos.Store(time.Now().UnixNano())
	l.hub.sentBytes.Add(int64(len(b)))
	l.hub.sentMessages.Add(1)
	return l.conn.Write(ctx, websocket.MessageBinary, b)
}

// setCloseReason keeps the first reason for which the link ended.
func (l *Link) setCloseReason(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeReason == "" {
		l.closeReason = reason
	}
}

// Reason is why the link ended, or "".
func (l *Link) Reason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeReason
}
