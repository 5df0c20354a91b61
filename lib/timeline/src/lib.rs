//! Merge of the logs of all processes into one causal order.
