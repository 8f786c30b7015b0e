"""Parts of tools/bench: each module measures one thing and gives figures."""
