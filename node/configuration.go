package node

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/event"
)

// configChanged takes a new configuration; it is called with the book's lock
// held.
func (n *Node) configChanged(c *config.Configuration) {
	before := n.fleet.current.Load().config.Revision
	n.fleet.setConfig(c)
	if c.Revision != before {
		event.ConfigInForce.Log(n.logger, zap.Uint64("revision", uint64(c.Revision)))
	}
}

// followFailed logs a reader's trouble that is not the log being away.
func (n *Node) followFailed(err error) {
	switch {
	case eris.Is(err, config.ErrNewerFormat):
		event.ConfigFormat.Log(n.logger)
	case n.book.HasGap():
		event.ConfigBehind.Log(n.logger)
	}
}
