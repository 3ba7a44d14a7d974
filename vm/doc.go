// Package vm defines VMs and reads the platform's list of them.
//
// The list may be stale: it may show a dead VM as live, lack a new VM, or show
// an address that now belongs to another VM. Information from any other source
// takes precedence over it.
package vm
