// Package standin holds small stand-ins for what the platform gives: the log,
// the list of VMs and targets. They fail on request in the ways the platform
// does. Each works in one process behind the interface the product declares,
// and over loopback for trials with separate processes.
package standin
