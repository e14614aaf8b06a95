"""What operators use: the HTTP interface, its client and histograms."""
