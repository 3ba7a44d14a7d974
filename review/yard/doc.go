// Command yard runs the scripts of the third review: it starts entry nodes as processes, with
// stand-ins for the store, the servers and the clients on loopback addresses, brings about one
// disruption, and records what clients and servers see.
package main
