// Package zone defines the names of availability zones and regions.
package zone
