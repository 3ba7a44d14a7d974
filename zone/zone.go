package zone

// Name is the name of an availability zone, unique in the deployment.
type Name string

// Region is the name of a region, which holds availability zones.
type Region string
