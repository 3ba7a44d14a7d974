// Package zone names availability zones and the regions that hold them.
package zone
