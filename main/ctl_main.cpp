#include "servers/control_client/control_client.hpp"

int main(int count, char** arguments)
{
    return chicory::control::run_client(count, arguments);
}
