"""The configuration of a deployment, called the operators' text: models and checks."""
