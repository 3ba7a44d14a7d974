// Command apricotctl operates entry nodes. It publishes configuration, withdraws
// availability zones and VMs from service, shows the state of nodes, and analyses
// their logs. For trials it also serves stand-ins of the platform, sends load,
// injects faults, and runs the demonstration and the soak test.
package main
