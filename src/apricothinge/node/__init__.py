"""The node, a proxy process that runs beside one upstream instance."""
