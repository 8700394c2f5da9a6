// Command kumquatworks runs a layer-4 load balancer, its operator commands and its test stand-ins.
package main

import (
	"os"

	"github.com/kumquatworks/kumquatworks/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
