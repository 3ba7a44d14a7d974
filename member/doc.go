// Package member keeps one node's table of the entry nodes of the fleet, with
// failure detection by heartbeat.
//
// Each node increments the heartbeat counter of its own entry; other nodes count
// it as live while the counter advances. A node is identified by its incarnation,
// drawn at random when its process starts, so a new process on an old address is
// another member. Entries are sent whole, with the heartbeat as their version: a
// lost message does no harm, and an older entry never replaces a newer one. The
// list of nodes from the platform supplies addresses to dial and a node count; it
// does not decide which members are live.
package member
