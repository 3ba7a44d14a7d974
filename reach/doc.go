// Package reach decides whether a node still has a path to the targets of its services.
//
// A single target that does not respond is most likely at fault itself. Several targets
// at once, without a response from any other since, show that the path of this node may
// be lost: another node may reach them. Whether one does is for the caller of the package
// to find out.
//
// Package reach does no input or output; it takes the current time as an argument.
package reach
