// Command apricotmount runs one entry node.
package main
