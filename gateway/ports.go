package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/listener"
)

// listen opens a port and serves it in the background.
func (n *Node) listen(address string, h http.Handler, in listener.Intake) error {
	s, err := listener.ServeLimited(address, &http.Server{Handler: h, ErrorLog: discardLogger}, in)
	if err != nil {
		return err
	}
	n.servers = append(n.servers, s)
	n.goroutines.Go(func() {
		if err := s.Wait(); err != nil {
			event.PortFailed.Log(n.logger, zap.String("address", address), zap.Error(err))
		}
	})
	return nil
}
