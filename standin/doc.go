// Package standin provides in-memory stand-ins for the parts of the platform that
// entry nodes depend on: the log, the list of VMs, and targets. Each can be made
// to fail in the ways in which the platform fails. The log and the list implement
// stream.Log and vm.Lister for use in one process; all are also served over
// loopback for tests with separate processes.
package standin
