"""The operators' HTTP API, its client, and the output of peridotwellctl."""
