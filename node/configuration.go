package node

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/config"
	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/stream"
)

// handleConfigChange applies a new configuration and logs a change of revision. It
// is called with the lock of n.configState held.
func (n *Node) handleConfigChange(c *config.Configuration) {
	oldRevision := n.services.active.Load().config.Revision
	n.services.applyConfig(c)
	if c.Revision != oldRevision {
		event.ConfigInForce.Log(n.logger, zap.Uint64("revision", uint64(c.Revision)))
	}
}

// logConfigReadError logs read errors of the configuration stream other than an
// unavailable log: an unsupported record format, or records that expired before
// this node read them.
func (n *Node) logConfigReadError(err error) {
	switch {
	case eris.Is(err, config.ErrNewerFormat):
		event.ConfigFormat.Log(n.logger)
	case n.configState.HasGap():
		event.ConfigBehind.Log(n.logger)
	}
}

// logMalformedConfig logs a record of the configuration stream that was skipped.
func (n *Node) logMalformedConfig(offset stream.Offset, err error) {
	event.ConfigMalformed.Log(n.logger, zap.Uint64("offset", uint64(offset)), zap.String("error", err.Error()))
}
