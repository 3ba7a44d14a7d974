// Package proof groups what proves and measures the product: models of what it
// serves, randomised runs and measurements. It is a module of its own, so that
// the libraries only it needs are no part of the product.
package proof
