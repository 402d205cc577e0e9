package command

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const reportTimeout = 5 * time.Second

// cmdReport prints the report of an instance.
type cmdReport struct {
	output

	Address string `long:"address" env:"LACEWINGRAMP_REPORT" default:"127.0.0.1:7003" description:"operator address of an instance"`
	JSON    bool   `long:"json" env:"LACEWINGRAMP_JSON" description:"print JSON"`
}

// Execute requests the report and copies it to the output.
func (c *cmdReport) Execute([]string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Address+"/report", nil)
	if err != nil {
		return err
	}
	if !c.JSON {
		req.Header.Set("Accept", "text/plain")
	}
	client := http.Client{Timeout: reportTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected response from the instance: %s", resp.Status)
	}
	_, err = io.Copy(c.out, resp.Body)
	return err
}
