"""The experiment tool and its report."""
