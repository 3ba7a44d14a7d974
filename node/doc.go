// Package node assembles one entry node of the load balancer and runs it.
//
// A Node holds the configuration, the target tables, the idempotency-key claims
// and the cold-start leases. It connects them to the callers' HTTP handler, the
// operators' API, the peer links and the platform's log and VM list, and runs the
// background loops that keep them current.
//
// Nodes share state through the platform's log. While the log is unavailable, peer
// links carry the configuration, temporary withdrawals, target states and lease
// extensions; calls without a key are still served, and keyed calls and publications
// are refused. A node becomes ready when it has a configuration or has read an empty
// configuration stream to its end. It is not ready while its VM or zone is withdrawn,
// nor once it is stopping. A planned stop lets the calls in progress finish within a
// limit.
package node
