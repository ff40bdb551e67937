"""What an instance knows of the backend servers, and shares with the others."""
