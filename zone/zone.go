package zone

// Name is the name of an availability zone. It is unique in the deployment.
type Name string

// Region is the name of a region, a group of availability zones.
type Region string
