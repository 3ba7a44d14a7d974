// Package operator implements the HTTP API with which operators publish
// configurations, withdraw availability zones and inspect a node, and a client
// of it. See docs/OPERATIONS.md.
package operator
