// Package member holds what one node knows of the other entry nodes.
//
// Each node counts its own beat up; others see it alive while the beat goes up.
// A node is its incarnation, drawn at random when its process starts: a new
// process on an old address is another member. Entries travel whole, each with
// its beat as version, so a lost message costs nothing and an older entry never
// replaces a newer one. The platform's list only says whom to try to speak to.
package member
