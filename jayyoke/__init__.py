"""Router fleet for returning chats and plain services."""
