// Package vm models VMs and the platform's list of them.
//
// The list lags: it may show a dead VM as live, miss a new one, or show an
// address that now belongs to another VM. Readers treat it as the weakest
// evidence they have.
package vm
