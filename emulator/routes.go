package emulator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gypsumlead/standin"
)

const (
	routeTryInterval = 100 * time.Millisecond
	routeChangeEvery = 20 // tries between two changes of the routes
	addedRoutes      = 3  // that the configuration has; as many were dropped last
)

// prefixes returns the prefixes of the configured routes.
func (c config) prefixes() []string {
	var list []string
	for _, route := range c.Routes {
		list = append(list, route.Prefix)
	}
	return list
}

// newRequest returns a request that is about to be sent to a daemon.
func (c *Cluster) newRequest(node *daemonNode) standin.Request {
	return standin.Request{Daemon: node.name, SentAt: time.Now(), ContactSince: c.contactSince(node.name)}
}

// tryRoutes adds a route and drops the oldest added one, again and again, and asks the daemons by turns for those that are
// there and those dropped last, until the cluster is closed. The Checker checks the answers.
func (c *Cluster) tryRoutes() {
	names := c.Daemons()
	newest := 0
	for i := 0; c.sleep(routeTryInterval); i++ {
		if i%routeChangeEvery == 0 {
			newest++
			c.replaceRoute(newest)
		}
		node := c.daemons[names[i%len(names)]]
		c.tryRoute(node, newest-i/len(names)%(2*addedRoutes))
	}
}

// replaceRoute writes a configuration with the added route of a number, and without the oldest of them.
func (c *Cluster) replaceRoute(number int) {
	c.changeConfig(func(config *config) {
		if number > addedRoutes {
			oldest := len(config.Routes) - addedRoutes
			config.Routes = slices.Delete(config.Routes, oldest, oldest+1)
		}
		added := config.Routes[0]
		added.Name, added.Prefix = "q-"+addedRoute(number), "/"+addedRoute(number)+"/"
		config.Routes = append(config.Routes, added)
	})
}

// tryRoute asks a daemon for the count of an added route's pending jobs, if there has been a route of that number.
func (c *Cluster) tryRoute(node *daemonNode, number int) {
	if number < 1 {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	r := c.newRequest(node)
	r.Status, _, _ = c.requestTo(ctx, node, http.MethodGet, addedRoute(number), "", nil)
	c.Checker.RouteAnswered("/"+addedRoute(number)+"/", r)
}

func addedRoute(number int) string { return fmt.Sprintf("added%d", number) }
