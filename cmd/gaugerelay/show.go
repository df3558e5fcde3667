package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// showTimeout bounds the whole request to the gateway.
const showTimeout = 5 * time.Second

// showCommand prints the status of a running gateway's fleet.
type showCommand struct {
	Addr string `arg:"" help:"Address (host:port) on which the gateway serves clients."`
}

// Run prints the status to standard output.
func (c *showCommand) Run() error {
	client := &http.Client{Timeout: showTimeout}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+c.Addr+"/fleet", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not a gateway, or its gateway is not part of a fleet: status %s", c.Addr, response.Status)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
