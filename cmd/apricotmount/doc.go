// Command apricotmount runs one entry node. The subcommand platform runs it on the
// users' platform, with the settings file of that platform. Without a subcommand the
// node reads this project's own settings file; a build with the tag platform leaves
// that mode out.
package main
