// Package tools pins the programs that check the code; they are no part of the
// product's module.
package tools
