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
	// sendQueueLength is the number of messages queued for a slow peer; further ones
	// are dropped.
	sendQueueLength = 32
	// writeTimeout limits the time to write one message.
	writeTimeout = 4 * time.Second
)

// Link is one connection to a peer. Its methods are safe for concurrent use.
type Link struct {
	hub            *Hub
	conn           *websocket.Conn
	sendQueue      chan []byte
	dialledAddress vm.Address // empty if the peer dialled
	cancel         context.CancelFunc

	peerIncarnation atomic.Uint64

	mu          sync.Mutex
	closeReason string
}

// PeerIncarnation returns the incarnation of the peer, or 0 before a message with
// entries has arrived.
func (l *Link) PeerIncarnation() member.Incarnation {
	return member.Incarnation(l.peerIncarnation.Load())
}

// Send queues a message without blocking, or drops it if the send queue is full.
func (l *Link) Send(m Message) {
	for _, part := range m.Split() {
		l.sendBytes(part.Encode())
	}
}

// sendBytes queues one encoded message, or drops it if the send queue is full.
func (l *Link) sendBytes(b []byte) {
	select {
	case l.sendQueue <- b:
	default:
		l.hub.droppedMessages.Add(1)
	}
}

// run serves the link until it closes or ctx ends.
func (l *Link) run(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.conn.SetReadLimit(maxMessageBytes)
	go l.writeLoop(ctx)
	l.readLoop(ctx)
	l.cancel()
	l.conn.CloseNow()
}

// readLoop passes received messages to the delegate until an error. A message that
// cannot be decoded closes the link.
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
		l.hub.Delegate.Receive(l, m)
	}
}

// readMessage reads one message within the idle timeout.
func (l *Link) readMessage(ctx context.Context) (b []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.hub.Settings.withDefaults().IdleTimeout)
	defer cancel()
	_, b, err = l.conn.Read(ctx)
	return b, err
}

// identifyPeer takes the incarnation of the peer from the first message with entries,
// of which the first is the sender's. It reports false if the link leads to this node
// itself.
func (l *Link) identifyPeer(m Message) bool {
	if l.PeerIncarnation() != 0 || len(m.Entries) == 0 {
		return true
	}
	if m.Entries[0].Incarnation == l.hub.Self {
		l.setCloseReason("it leads to this node itself")
		l.hub.addOwnAddress(l.dialledAddress)
		return false
	}
	l.peerIncarnation.Store(uint64(m.Entries[0].Incarnation))
	return true
}

// writeLoop queues the node's state and sends the queued messages until an error or ctx
// ends. It sends an empty message when it has sent nothing for a keep-alive interval.
func (l *Link) writeLoop(ctx context.Context) {
	keepAliveInterval := l.hub.Settings.withDefaults().IdleTimeout / keepAliveDivisor
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	defer l.cancel()
	l.sendBytes(l.hub.Delegate.State().Encode())
	for {
		var b []byte
		select {
		case <-ctx.Done():
			return
		case b = <-l.sendQueue:
		case <-timer.C:
			b = Message{}.Encode()
		}
		timer.Reset(keepAliveInterval)
		if err := l.writeMessage(ctx, b); err != nil {
			l.setCloseReason(err.Error())
			return
		}
	}
}

// writeMessage writes one message within writeTimeout.
func (l *Link) writeMessage(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.hub.sentBytes.Add(int64(len(b)))
	l.hub.sentMessages.Add(1)
	return l.conn.Write(ctx, websocket.MessageBinary, b)
}

// setCloseReason records why the link closes, unless a reason is already recorded.
func (l *Link) setCloseReason(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeReason == "" {
		l.closeReason = reason
	}
}

// CloseReason returns why the link closed, or "" while it is open.
func (l *Link) CloseReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeReason
}
