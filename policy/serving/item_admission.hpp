#ifndef CHICORY_POLICY_SERVING_ITEM_ADMISSION_HPP
#define CHICORY_POLICY_SERVING_ITEM_ADMISSION_HPP

#include <cstddef>
#include <map>
#include <string>

namespace chicory::serving
{

/// Limits of the items of one node that wait for slots at the same time.
struct item_admission_settings
{
    /// Maximum number of items of one service. All nodes together then request
    /// about as many slots as there are, and no coordinator has to order
    /// thousands of requests.
    std::size_t per_service = 12;
    /// Maximum number of items of all services, apart from one item of each
    /// service. Bounds the memory for waiting items when many services are
    /// lost.
    std::size_t total = 768;
};

/// Decides which items of a node may begin to wait for slots. Designed for
/// services that are lost, refuse everything or answer nothing while others are
/// sound: their items wait for long, and each service has places of its own, so
/// that the items of no other service wait for those.
class item_admission
{
public:
    explicit item_admission(item_admission_settings initial = {});

    /// Returns whether one more item of a service may begin to wait.
    bool may_start(const std::string& service) const;

    /// Records an item that waits.
    void add(const std::string& service);

private:
    item_admission_settings settings;
    std::map<std::string, std::size_t> waiting;
    std::size_t total = 0;
};

} // namespace chicory::serving

#endif
