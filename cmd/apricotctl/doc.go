// Command apricotctl is for operators, and for trying things out.
package main
