// Package intake decides what clients may send before their requests are served: how long a head
// may be and how long it may take, how much memory the heads of all connections may take
// together, how many connections a port may have, and who gives way when there is no room.
//
// A parsed head takes many times the bytes that were received, as each line costs memory of its
// own. So heads are kept as received until they are complete, and only then parsed; a Budget
// bounds both. Shares divides the memory and the descriptors of a process.
//
// The package does no input or output.
package intake
