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
    /// Maximum number of further items of one service that may prove to be
    /// impossible for its runners. They use no place of the others.
    std::size_t uncertain_per_service = 4;
    /// Maximum number of items of all services, apart from one item of each
    /// service. Bounds the memory for waiting items when many services are
    /// lost.
    std::size_t total = 768;
};

/// Number of items of one service that wait.
struct waiting_items
{
    std::size_t regular = 0;
    /// Items that may prove to be impossible for the runners.
    std::size_t uncertain = 0;
};

/// Decides which items of a node may begin to wait for slots. Designed for two
/// load patterns. Services are lost, refuse everything or answer nothing while
/// others are sound: their items wait for long, and each service has places of
/// its own, so that the items of no other service wait for those. Items that
/// runners refuse are sent again and again: they have places of their own
/// beside the other items of the service.
class item_admission
{
public:
    explicit item_admission(item_admission_settings initial = {});

    /// Returns whether one more item of a service may begin to wait.
    bool may_start(const std::string& service, bool uncertain = false) const;

    /// Records an item that waits.
    void add(const std::string& service, bool uncertain = false);

    /// Returns whether more uncertain items of a service wait than may begin
    /// to.
    bool has_too_many_uncertain(const std::string& service) const;

private:
    item_admission_settings settings;
    std::map<std::string, waiting_items> waiting;
    std::size_t total = 0;
};

} // namespace chicory::serving

#endif
