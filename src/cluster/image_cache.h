// The container images cached on a machine. Heartbeats do not list them, so they are inferred from the tasks
// that ran there: the worker protocol specifies that the least recently used image is evicted first.
#pragma once
#include <string>
#include <vector>

namespace hareshore {

class ImageCache {
  public:
    ImageCache() = default;
    explicit ImageCache(double capacity_gb) : capacity_gb_(capacity_gb) {}

    void set_capacity(double capacity_gb) { capacity_gb_ = capacity_gb; }
    // Makes the image the most recently used one. It is not evicted even if it exceeds the capacity.
    void use(const std::string& image, double size_gb);
    [[nodiscard]] bool has(const std::string& image) const;
    void clear() { images_.clear(); }

  private:
    struct Image {
        std::string name;
        double size_gb = 0;
    };
    double capacity_gb_ = 0;
    std::vector<Image> images_;  // most recently used first
};

}  // namespace hareshore
