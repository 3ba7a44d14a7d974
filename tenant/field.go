package tenant

import "fmt"

// field returns the name of a field of the tenant with index i, for faults.
func field(i int, name string) string { return fmt.Sprintf("tenants[%d].%s", i, name) }

// keyField returns the name of a key of the tenant with index i.
func keyField(i, j int) string { return fmt.Sprintf("tenants[%d].apiKeys[%d]", i, j) }
